import { createHash } from 'node:crypto';

import type { Hono } from 'hono';
import { html, raw } from 'hono/html';

import { pageScript } from './pageScript.js';
import { pageStyle } from './pageStyle.js';

function hashSource(text: string): string {
  return `'sha256-${createHash('sha256').update(text).digest('base64')}'`;
}

const CONTENT_SECURITY_POLICY = [
  "default-src 'none'",
  "connect-src 'self'",
  `script-src ${hashSource(pageScript)}`,
  `style-src ${hashSource(pageStyle)}`,
  "base-uri 'none'",
  "form-action 'none'",
  "frame-ancestors 'none'",
].join('; ');

// Inserted as complete elements: their text must match the digests in the policy exactly.
const style = raw(`<style>${pageStyle}</style>`);
const script = raw(`<script>${pageScript}</script>`);

const page = html`<!doctype html>
  <html lang="en">
    <head>
      <meta charset="utf-8" />
      <title>filbertlatch</title>
      ${style}
    </head>
    <body>
      <h1 id="title">filbertlatch</h1>
      <form id="form">
        <input id="token" type="password" autocomplete="off" placeholder="token" required />
        <button>Show</button>
      </form>
      <div id="notice" role="status"></div>
      <table id="classes"></table>
      <table id="members"></table>
      <p class="quiet">
        Figures of this VM over the last minute; targets are first token, between tokens and whole.
      </p>
      ${script}
    </body>
  </html>`;

/** Adds the operators' page, which contains no data and fetches it with the token entered. */
export function addPage(api: Hono): void {
  api.get('/', (c) => {
    c.header('content-security-policy', CONTENT_SECURITY_POLICY);
    c.header('cache-control', 'no-store');
    c.header('x-content-type-options', 'nosniff');
    c.header('referrer-policy', 'no-referrer');
    return c.html(page);
  });
}

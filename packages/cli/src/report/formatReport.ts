import { drawBars, type Bar } from './drawBars.js';
import { escapeText } from './escapeText.js';
import type { Result } from './readResults.js';

const STYLE =
  'body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}' +
  'td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}th:first-child{text-align:left}';

/** Figures by row (a class, or `all`) and column (a metric). */
interface Grid {
  readonly rows: readonly string[];
  readonly columns: readonly string[];
  valueAt(row: string, column: string): number | undefined;
}

/** Splits names such as `bulletin.first.p95Ms` at the first dot into class and metric. */
function groupFigures(figures: Result['figures']): Grid {
  const split = (name: string) => {
    const at = name.indexOf('.');
    return at < 0 ? ['all', name] : [name.slice(0, at), name.slice(at + 1)];
  };
  const names = Object.keys(figures).map(split);
  return {
    rows: [...new Set(names.map(([row]) => row!))],
    columns: [...new Set(names.map(([, column]) => column!))],
    valueAt: (row, column) => figures[row === 'all' ? column : `${row}.${column}`],
  };
}

function formatNumber(value: number | undefined): string {
  return value === undefined ? '' : String(Number(value.toPrecision(4)));
}

function formatGrid({ rows, columns, valueAt: read }: Grid): string {
  const head = ['', ...columns].map((column) => `<th>${escapeText(column)}</th>`).join('');
  const lines = rows.map((row) => {
    const cells = columns.map((column) => `<td>${formatNumber(read(row, column))}</td>`);
    return `<tr><th>${escapeText(row)}</th>${cells.join('')}</tr>`;
  });
  return `<table><tr>${head}</tr>${lines.join('')}</table>`;
}

function listBars({ rows, valueAt: read }: Grid, column: string): Bar[] {
  return rows.flatMap((row) => {
    const value = read(row, column);
    return value === undefined ? [] : [{ name: row, part: value }];
  });
}

function formatResult({ experiment, seed, figures }: Result): string {
  const grid = groupFigures(figures);
  const charts = ['attainment', 'goodput'].map((column) => {
    const bars = listBars(grid, column);
    return bars.length === 0 ? '' : drawBars(column, bars);
  });
  const title = `${escapeText(experiment)}, seed ${seed}`;
  return [`<h2>${title}</h2>`, ...charts, formatGrid(grid)].join('\n');
}

/** Formats results as one HTML page with inline SVG charts. */
export function formatReport(results: readonly Result[]): string {
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>filbertlatch: measurements</title>',
    `<style>${STYLE}</style></head><body><h1>Measurements</h1>`,
    ...results.map(formatResult),
    '</body></html>',
  ].join('\n');
}

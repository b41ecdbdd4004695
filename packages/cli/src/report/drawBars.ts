import { escapeText } from './escapeText.js';

const WIDTH = 640;
const LABEL_WIDTH = 180;
const VALUE_WIDTH = 60;
const ROW_HEIGHT = 20;
const BAR_HEIGHT = 12;

/** One bar: a part of a whole, 0 to 1. */
export interface Bar {
  readonly name: string;
  readonly part: number;
}

/** Draws parts of a whole as bars, as SVG. */
export function drawBars(title: string, bars: readonly Bar[]): string {
  const length = WIDTH - LABEL_WIDTH - VALUE_WIDTH;
  const rows = bars.flatMap(({ name, part }, index) => {
    const top = (index + 1) * ROW_HEIGHT;
    const base = top + BAR_HEIGHT - 2;
    const filled = Math.max(0, Math.min(1, part)) * length;
    return [
      `<text x="${LABEL_WIDTH - 8}" y="${base}" text-anchor="end">${escapeText(name)}</text>`,
      `<rect x="${LABEL_WIDTH}" y="${top}" width="${length}" height="${BAR_HEIGHT}" fill="#eee"/>`,
      `<rect x="${LABEL_WIDTH}" y="${top}" width="${filled.toFixed(1)}" height="${BAR_HEIGHT}" fill="#1b6ca8"/>`,
      `<text x="${LABEL_WIDTH + length + 8}" y="${base}">${(part * 100).toFixed(1)}%</text>`,
    ];
  });
  const height = (bars.length + 1) * ROW_HEIGHT + BAR_HEIGHT;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<text x="0" y="12" font-size="13">${escapeText(title)}</text>`,
    ...rows,
    '</svg>',
  ].join('\n');
}

import { escapeText } from './escapeText.js';

const WIDTH_PX = 640;
const LABEL_WIDTH_PX = 180;
const VALUE_WIDTH_PX = 60;
const ROW_HEIGHT_PX = 20;
const BAR_HEIGHT_PX = 12;

/** One bar of a chart. */
export interface Bar {
  readonly name: string;
  /** Filled part of the bar, 0 to 1. */
  readonly part: number;
}

/** Draws a horizontal bar chart of percentages as SVG. */
export function drawBars(title: string, bars: readonly Bar[]): string {
  const length = WIDTH_PX - LABEL_WIDTH_PX - VALUE_WIDTH_PX;
  const rows = bars.flatMap(({ name, part }, index) => {
    const top = (index + 1) * ROW_HEIGHT_PX;
    const base = top + BAR_HEIGHT_PX - 2;
    const filled = Math.max(0, Math.min(1, part)) * length;
    return [
      `<text x="${LABEL_WIDTH_PX - 8}" y="${base}" text-anchor="end">${escapeText(name)}</text>`,
      `<rect x="${LABEL_WIDTH_PX}" y="${top}" width="${length}" height="${BAR_HEIGHT_PX}" fill="#eee"/>`,
      `<rect x="${LABEL_WIDTH_PX}" y="${top}" width="${filled.toFixed(1)}" height="${BAR_HEIGHT_PX}" fill="#1b6ca8"/>`,
      `<text x="${LABEL_WIDTH_PX + length + 8}" y="${base}">${(part * 100).toFixed(1)}%</text>`,
    ];
  });
  const height = (bars.length + 1) * ROW_HEIGHT_PX + BAR_HEIGHT_PX;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<text x="0" y="12" font-size="13">${escapeText(title)}</text>`,
    ...rows,
    '</svg>',
  ].join('\n');
}

import { scaleLinear } from 'd3-scale';
import { line } from 'd3-shape';

const WIDTH_PX = 640;
const HEIGHT_PX = 280;
const MARGIN_PX = { top: 28, right: 150, bottom: 40, left: 56 };
const TICKS_PER_AXIS = 6;
const COLORS = ['#1b6ca8', '#c8553d', '#588157', '#7b5ea7', '#b08900', '#4a4a4a'];

/** One line of a chart; points are pairs of x and y. */
export interface Series {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

/** Contents of a line chart. */
export interface Chart {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly Series[];
  /** Top of the y axis; absent: the highest value. */
  readonly yMax?: number;
}

function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function findHighest(chart: Chart, axis: 0 | 1): number {
  const values = chart.series.flatMap(({ points }) => points.map((point) => point[axis]));
  return values.reduce((a, b) => Math.max(a, b), 0) || 1;
}

/** Draws a line chart as SVG text. */
export function drawChart(chart: Chart): string {
  const right = WIDTH_PX - MARGIN_PX.right;
  const bottom = HEIGHT_PX - MARGIN_PX.bottom;
  const x = scaleLinear([0, findHighest(chart, 0)], [MARGIN_PX.left, right]);
  const y = scaleLinear([0, chart.yMax ?? findHighest(chart, 1)], [bottom, MARGIN_PX.top]);
  const path = line<readonly [number, number]>(
    (point) => Math.round(x(point[0]) * 10) / 10,
    (point) => Math.round(y(point[1]) * 10) / 10,
  );
  const text = (at: string, content: string) => `<text ${at}>${escapeText(content)}</text>`;
  const xTicks = x
    .ticks(TICKS_PER_AXIS)
    .map((v) => text(`x="${x(v)}" y="${bottom + 16}" text-anchor="middle"`, String(v)));
  const yTicks = y
    .ticks(TICKS_PER_AXIS)
    .flatMap((v) => [
      `<line x1="${MARGIN_PX.left}" x2="${right}" y1="${y(v)}" y2="${y(v)}" stroke="#ddd"/>`,
      text(`x="${MARGIN_PX.left - 6}" y="${y(v) + 4}" text-anchor="end"`, String(v)),
    ]);
  const lines = chart.series.flatMap(({ name, points }, index) => {
    const color = COLORS[index % COLORS.length]!;
    const legendY = MARGIN_PX.top + 10 + index * 16;
    return [
      `<path d="${path(points) ?? ''}" fill="none" stroke="${color}" stroke-width="1.5"/>`,
      text(`x="${right + 10}" y="${legendY}" fill="${color}"`, name),
    ];
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH_PX} ${HEIGHT_PX}" font-family="sans-serif" font-size="11">`,
    `<rect width="${WIDTH_PX}" height="${HEIGHT_PX}" fill="#fff"/>`,
    text(`x="${MARGIN_PX.left}" y="16" font-size="13"`, chart.title),
    ...yTicks,
    ...xTicks,
    text(
      `x="${(MARGIN_PX.left + right) / 2}" y="${HEIGHT_PX - 8}" text-anchor="middle"`,
      chart.xLabel,
    ),
    text(`x="${MARGIN_PX.left}" y="${MARGIN_PX.top - 3}" font-size="10"`, chart.yLabel),
    ...lines,
    '</svg>',
    '',
  ].join('\n');
}

import Table from 'cli-table3';

type Cell = string | number;

/** Formats rows as a text table with borders. */
export function formatTable(head: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const table = new Table({ head: [...head], style: { head: [], border: [] } });
  rows.forEach((row) => table.push([...row]));
  return table.toString();
}

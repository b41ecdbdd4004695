/** Script of the operators' page: polls the admin API and fills the tables. */
export const pageScript = `
'use strict';
const POLL_INTERVAL_MS = 2000;
const TARGET_FRACTION = 0.95;
const NEAR_TARGET_FRACTION = 0.9;

// The token is kept in this variable only, so that closing the page discards it.
let token = '';
let timer = null;

const byId = (id) => document.getElementById(id);
const percent = (fraction) => (fraction === null ? '-' : (fraction * 100).toFixed(1) + '%');
const round = (value) => (value === null ? '-' : String(Math.round(value)));

function gradeOf(fraction) {
  if (fraction === null) return 'quiet';
  if (fraction >= TARGET_FRACTION) return 'met';
  return fraction >= NEAR_TARGET_FRACTION ? 'near' : 'missed';
}

const columns = [
  ['class', (row) => row.id],
  ['tier', (row) => row.tier],
  ['share', (row) => percent(row.share)],
  ['weight', (row) => row.weight],
  ['limit tokens/s', (row) => row.tokensPerSecondLimit === null ? '-' : row.tokensPerSecondLimit],
  ['target ms', (row) => row.target.firstTokenMs + ' / ' + row.target.betweenTokensMs + ' / ' + row.target.wholeMs],
  ['attainment', (row) => percent(row.attainment), (row) => gradeOf(row.attainment)],
  ['goodput', (row) => percent(row.goodput), (row) => gradeOf(row.goodput)],
  ['first token p95 ms', (row) => round(row.firstTokenMs.p95)],
  ['answer p95 ms', (row) => round(row.wholeMs.p95)],
  ['waiting', (row) => row.waiting],
  ['open', (row) => row.open],
  ['use tokens/s', (row) => round(row.tokensPerSecond)],
  ['requests', (row) => row.requests],
  ['shed', (row) => row.shed],
  ['failed', (row) => row.failed],
  ['wasted', (row) => percent(row.waste)],
];

const memberColumns = [
  ['VM', (row) => row.id],
  ['zone', (row) => row.zone],
  ['published', (row) => row.state],
  ['told', (row) => row.told ?? '-'],
  ['table', (row) => row.tableRevision ?? '-'],
  ['list', (row) => row.listRevision ?? '-'],
  ['heard s ago', (row) => row.heardAgoMs === null ? '-' : (row.heardAgoMs / 1000).toFixed(1)],
];

function createCell(kind, text, grade) {
  const element = document.createElement(kind);
  element.textContent = String(text);
  if (grade) element.className = grade;
  return element;
}

function fillTable(table, heads, rows) {
  const head = document.createElement('tr');
  heads.forEach(([name]) => head.append(createCell('th', name)));
  const lines = rows.map((row) => {
    const line = document.createElement('tr');
    heads.forEach(([, read, grade]) => line.append(createCell('td', read(row), grade && grade(row))));
    return line;
  });
  table.replaceChildren(head, ...lines);
}

async function ask(path) {
  const response = await fetch(path, { headers: { authorization: 'Bearer ' + token } });
  const answer = await response.json();
  if (!response.ok) throw new Error(answer.error);
  return answer;
}

async function refresh() {
  try {
    const [report, fleet] = await Promise.all([ask('/admin/classes'), ask('/admin/members')]);
    byId('title').textContent = report.vm + ', table revision ' + report.tableRevision;
    fillTable(byId('classes'), columns, report.classes);
    fillTable(byId('members'), memberColumns, fleet.members);
    byId('notice').textContent = '';
  } catch (error) {
    byId('notice').textContent = error.message;
  }
  timer = setTimeout(refresh, POLL_INTERVAL_MS);
}

byId('form').addEventListener('submit', (event) => {
  event.preventDefault();
  token = byId('token').value;
  byId('token').value = '';
  clearTimeout(timer);
  refresh();
});
`;

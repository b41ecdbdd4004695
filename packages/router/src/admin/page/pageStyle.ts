/** Style of the operators' page. */
export const pageStyle = `
body { font: 13px system-ui, sans-serif; margin: 1.5rem; color: #1d2530; background: #fbfcfd; }
h1 { font-size: 1.2rem; margin: 0 0 .6rem; }
form { margin: .6rem 0; }
input { font: inherit; width: 22rem; padding: .25rem; }
table { border-collapse: collapse; background: #fff; margin: .6rem 0; }
th, td { border: 1px solid #d5dbe2; padding: .2rem .4rem; text-align: right; white-space: nowrap; }
th { background: #eef2f6; font-weight: 600; }
td:first-child, td:nth-child(2), th:first-child, th:nth-child(2) { text-align: left; }
.missed { background: #fbd9d3; }
.near { background: #fdf0cf; }
.met { background: #dff2e1; }
.quiet { color: #8793a0; }
#notice { color: #a3341f; min-height: 1.2em; }
`;

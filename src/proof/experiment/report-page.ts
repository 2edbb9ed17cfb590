/**
 * @file The report of a fleet run: one HTML page that needs no other file, with the plotting library
 * inside it.
 */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { REPORT_SCRIPT, REPORT_STYLE } from './report-assets.js';
import type { ReportData } from './report-data.js';

const require = createRequire(import.meta.url);

/** The counts of harm, in the order of the page. */
const harmFigures = [
  'brokenFlows',
  'misrouted',
  'ranTwice',
  'falseNotRun',
  'incompleteAnswers',
  'noticesLost',
  'noticesDoubled',
] as const;

/**
 * @returns the page
 */
export function reportPage(data: ReportData): string {
  const { figures } = data;
  const title = `amberlift fleet: ${figures.deployment}, ${figures.scenario}, seed ${figures.seed}`;
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escapeHtml(title)}</title>
<style>${readLibrary('uPlot.min.css')}${REPORT_STYLE}</style>
</head>
<body>
<h1>${escapeHtml(title)}</h1>
<h2>Harm</h2>
<div class="harm">${harmFigures.map((name) => harmBox(name, figures[name])).join('')}</div>
<h2>Requests a second</h2><div id="throughput"></div>
<h2>Latency of answered requests, in milliseconds</h2><div id="latency"></div>
<h2>Connections per back end</h2><div id="connections"></div>
<h2>Events</h2>
<ol class="events">${data.events.map(({ atSeconds, text }) => eventLine(atSeconds, text)).join('')}</ol>
<h2>All figures</h2>
<table>${Object.entries(figures).map(figureRow).join('')}</table>
<script>${readLibrary('uPlot.iife.min.js')}</script>
<script>const data = ${escapeScript(JSON.stringify(data))};${REPORT_SCRIPT}</script>
</body>
</html>
`;
}

function harmBox(name: string, value: unknown): string {
  const isHarmed = value !== 0;
  const shown = escapeHtml(JSON.stringify(value ?? null));
  return `<div class="${isHarmed ? 'bad' : 'good'}"><b>${shown}</b>${name}</div>`;
}

function eventLine(atSeconds: number, text: string): string {
  return `<li><span>${atSeconds.toFixed(1)} s</span> ${escapeHtml(text)}</li>`;
}

function figureRow([name, value]: [string, unknown]): string {
  const shown = typeof value === 'number' && !Number.isInteger(value) ? value.toFixed(3) : value;
  const text = typeof shown === 'string' ? shown : JSON.stringify(shown);
  return `<tr><td>${escapeHtml(name)}</td><td>${escapeHtml(text)}</td></tr>`;
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}

/** No text inside the data can end the script element. */
function escapeScript(json: string): string {
  return json.replaceAll('<', '\\u003c');
}

function readLibrary(file: string): string {
  const folder = dirname(require.resolve('uplot/package.json'));
  return readFileSync(join(folder, 'dist', file), 'utf8');
}

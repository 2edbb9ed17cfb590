/**
 * @file Style and script of the report page.
 */

/** Style of the page. */
export const REPORT_STYLE = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 24px auto; max-width: 1080px; color: #222; }
h1 { font-size: 20px; } h2 { font-size: 15px; margin: 24px 0 8px; }
.harm { display: flex; flex-wrap: wrap; gap: 8px; }
.harm div { padding: 8px 12px; border-radius: 4px; font-size: 12px; }
.harm b { display: block; font-size: 20px; }
.good { background: #e3f4e6; color: #14532d; } .bad { background: #fde2e2; color: #7f1d1d; }
.events { columns: 2; font-size: 12px; padding: 0; list-style: none; }
.events span { display: inline-block; width: 56px; text-align: right; color: #777; }
table { border-collapse: collapse; font-size: 12px; }
td { border-bottom: 1px solid #ddd; padding: 2px 12px 2px 0; }
.u-legend { font-size: 11px; }
`;

/** Draws the plots of `data`; marks stand where an event was. */
export const REPORT_SCRIPT = `
const palette = ['#2563eb','#dc2626','#16a34a','#9333ea','#ea580c','#0891b2','#be185d','#65a30d',
  '#475569','#ca8a04','#7c3aed','#0d9488','#b91c1c','#1d4ed8','#4d7c0f','#a21caf'];
const colourOf = (text) => /kill|Failed/.test(text) ? '#dc2626'
  : /pause|cut/.test(text) ? '#ea580c'
  : /drain/.test(text) ? '#9333ea'
  : /stop|joins|voter/.test(text) ? '#2563eb' : '#999999';
function drawMarks(plot) {
  const { ctx, bbox } = plot;
  ctx.save();
  for (const { atSeconds, text } of data.events) {
    const x = plot.valToPos(atSeconds, 'x', true);
    if (x < bbox.left || x > bbox.left + bbox.width) continue;
    ctx.strokeStyle = colourOf(text);
    ctx.globalAlpha = 0.55;
    ctx.setLineDash([4, 4]);
    ctx.beginPath();
    ctx.moveTo(x, bbox.top);
    ctx.lineTo(x, bbox.top + bbox.height);
    ctx.stroke();
  }
  ctx.restore();
}
const lastSecond = Math.max(0, ...data.timeline.map((point) => point.second), ...data.sampleTimes);
function draw(id, x, series, scale) {
  new uPlot({
    width: 1060, height: 260,
    scales: { x: { time: false, range: [0, lastSecond] }, y: scale },
    axes: [{ label: 'seconds' }, { size: 60 }],
    series: [{ label: 'second' }, ...series.map((one, position) => ({
      label: one.label, stroke: palette[position % palette.length], width: 1.5, spanGaps: true,
      points: { show: false },
    }))],
    hooks: { draw: [drawMarks] },
  }, [x, ...series.map((one) => one.values)], document.getElementById(id));
}
const seconds = data.timeline.map((point) => point.second);
const pick = (name) => data.timeline.map((point) => point[name]);
const latency = (name) => data.timeline.map((point) => point.answered > 0 ? point[name] : null);
draw('throughput', seconds, [
  { label: 'answered', values: pick('answered') },
  { label: 'refused', values: pick('refused') },
  { label: 'outcome unknown', values: pick('outcomeUnknown') },
], { range: (plot, min, max) => [0, Math.max(1, max)] });
draw('latency', seconds, [
  { label: 'p50', values: latency('latencyP50Ms') },
  { label: 'p99', values: latency('latencyP99Ms') },
], { distr: 3 });
draw('connections', data.sampleTimes,
  data.backends.map((backend) => ({ label: backend.name, values: backend.connections })),
  { range: (plot, min, max) => [0, Math.max(1, max)] });
`;

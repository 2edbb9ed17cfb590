/** @file The report page: needs no other file, and shows what the run gave. */
import t from 'tap';
import { fleetResultSchema } from '../../../src/proof/experiment/report-data.js';
import { reportPage } from '../../../src/proof/experiment/report-page.js';

const data = fleetResultSchema.parse({
  figures: { deployment: 'a</script>', scenario: 's', seed: 1, brokenFlows: 3, misrouted: 0 },
  timeline: [
    { second: 0, answered: 1, refused: 0, outcomeUnknown: 0, latencyP50Ms: 5, latencyP99Ms: 9 },
  ],
  events: [{ atSeconds: 0.5, text: 'kill balancer-1' }],
  sampleTimes: [1],
  backends: [{ name: 'authd-1', service: 'authd', connections: [7] }],
});

t.test('the page loads nothing from elsewhere', async (t) => {
  const page = reportPage(data);
  t.notMatch(page, /<(script|link|img)[^>]* (src|href)=/);
  t.ok(page.includes('uPlot'), 'the plotting library is inside');
});

t.test('harm and events are shown', async (t) => {
  const page = reportPage(data);
  t.ok(page.includes('<div class="bad"><b>3</b>brokenFlows</div>'));
  t.ok(page.includes('<div class="good"><b>0</b>misrouted</div>'));
  t.ok(page.includes('<div class="bad"><b>null</b>ranTwice</div>'), 'what was not told is no good');
  t.ok(page.includes('kill balancer-1'));
});

t.test('no text of a run can end the script', async (t) => {
  const page = reportPage(data);
  t.equal(page.split('</script>').length - 1, 2);
});

/**
 * @file How much of a service ejection may take out of placement. What most back ends of a service share is no fault
 * of single ones: it is the route, the callers, or a dependency, and the ones left would have to carry everything.
 *
 * There are two caps since the detectors know differently much. Placement applies them one after the other, so at
 * most 0.4 and then 0.2 of what is left: 0.52 of the candidates together.
 *
 * Neither value is measured by itself. Too low is a cap if `backend passed over` is logged for back ends that go on to
 * get opens which stall (`amberlift_ingress_backend_stalled_flows`); too high if the ones that are left crowd
 * (`amberlift_ingress_backend_requests`) while ejected ones answer again.
 */

/**
 * Of the candidates, by answers. The detector has seen requests that nobody acknowledged or answers that fail, and it
 * remembers which back ends these were. Four in ten hold the back ends of one zone of three that are lost at once; the
 * others then carry 1.7 times as much. Above the cap none is ejected: it can't be told which of them still serve.
 */
export const MAX_SHARE_BY_ANSWERS = 0.4;

/**
 * Of the candidates, by load. The detector knows only that more is in progress at a back end than at the others, which
 * a slow one shows as well as one that hangs, and it remembers nothing. The others are its yardstick, so they must be
 * many: the mean is over eight in ten at least. Above the cap those with most in progress are ejected.
 */
export const MAX_SHARE_BY_LOAD = 0.2;

/**
 * @file Caps on the share of a service that ejection removes from placement. A failure that most back ends
 * share comes from a route, the callers or a dependency, and the remaining ones could not carry the load.
 * Placement applies both caps in turn, so at most 0.52 of the candidates are ejected.
 */

/**
 * Share of the candidates; more than one zone of three, whose loss leaves the others 1.7 times the load. Above it none is ejected
 * by answers, because it is unknown which of them still serve.
 */
export const MAX_EJECTED_SHARE_BY_ANSWERS = 0.4;

/**
 * Share of the candidates. Lower than by answers, since a high load is weaker evidence and the mean needs
 * most of the others. Above it those with the highest load are ejected.
 */
export const MAX_EJECTED_SHARE_BY_LOAD = 0.2;

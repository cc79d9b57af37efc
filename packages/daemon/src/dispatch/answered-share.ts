/** The share of recent requests that must have been answered in the time that is left of a shutdown for one more to be sent. */
export const answeredShare = 0.98;

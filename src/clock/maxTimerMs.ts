/** Longest delay of a timer in ms. Node.js fires a timer with a longer one, or with an infinite one, at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

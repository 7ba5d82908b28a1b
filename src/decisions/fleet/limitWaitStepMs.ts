/** Resolution of the time until an endpoint's limit allows a request, as packed loads state it, in ms. */
export const LIMIT_WAIT_STEP_MS = 200;

const MAX_SAVED_RETRIES = 100;
const INITIAL_RETRIES = 10;

/**
 * Limits retries and hedges to a share of the first tries (retry budget; Site Reliability Engineering, 2016,
 * "Handling Overload").
 */
export class RetryBudget {
    private saved = INITIAL_RETRIES;

    private constructor() {}

    /** Creates a budget that allows a few retries from the start. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /**
     * Credits one first try.
     *
     * @param share - Retries allowed for each first try, 0 to 1.
     */
    deposit(share: number): void {
        this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + share);
    }

    /** Takes one retry; false if the budget is spent. */
    withdraw(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}

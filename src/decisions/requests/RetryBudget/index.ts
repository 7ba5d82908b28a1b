const MAX_BALANCE = 100;
const INITIAL_BALANCE = 10;

/**
 * Retry budget of an entry for one service: limits retries and hedges to a share of the first attempts (Site Reliability
 * Engineering, 2016, "Handling Overload").
 */
export class RetryBudget {
    private balance = INITIAL_BALANCE;

    private constructor() {}

    /** Creates a budget with the initial balance. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /**
     * Credits the budget for one first attempt.
     *
     * @param share - Retries allowed per first attempt, 0 to 1.
     */
    deposit(share: number): void {
        this.balance = Math.min(MAX_BALANCE, this.balance + share);
    }

    /** Withdraws one retry; false if the budget is spent. */
    tryWithdraw(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}

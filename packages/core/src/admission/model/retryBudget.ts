/** Limits retries to a fraction of the successful requests, so that retries do not add load to a failing fleet. */
export interface RetryBudget {
    /** Retries that are still allowed. */
    readonly tokens: number;
}

const TOKENS_PER_SUCCESS = 0.1;
/** Enough to retry at once all streams of a host that fail together with a failure domain. */
const MAX_TOKENS = 64;

/** The budget of a host that starts. */
export const fullRetryBudget: RetryBudget = { tokens: MAX_TOKENS };

/** Adds to the budget after a success. */
export function addRetryTokens(budget: RetryBudget): RetryBudget {
    return { tokens: Math.min(MAX_TOKENS, budget.tokens + TOKENS_PER_SUCCESS) };
}

/** Takes one token for a retry. `allowed` is false, and the budget unchanged, if less than one token is left. */
export function spendRetry(budget: RetryBudget): { budget: RetryBudget; allowed: boolean; } {
    return budget.tokens < 1 ? { budget, allowed: false } : { budget: { tokens: budget.tokens - 1 }, allowed: true };
}

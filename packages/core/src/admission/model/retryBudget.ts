/** Limits retries to a part of the successful requests, so that a failing fleet does not get more load. */
export interface RetryBudget {
    readonly tokens: number;
}

const TOKENS_PER_SUCCESS = 0.1;
/** Enough to retry at once all streams that a host loses together with a failure domain. */
const MAX_TOKENS = 64;

export const fullRetryBudget: RetryBudget = { tokens: MAX_TOKENS };

/** Adds to the budget after a success. */
export function addRetryTokens(budget: RetryBudget): RetryBudget {
    return { tokens: Math.min(MAX_TOKENS, budget.tokens + TOKENS_PER_SUCCESS) };
}

/** Spends one retry. `allowed` is false if the budget is used up. */
export function spendRetry(budget: RetryBudget): { budget: RetryBudget; allowed: boolean; } {
    return budget.tokens < 1 ? { budget, allowed: false } : { budget: { tokens: budget.tokens - 1 }, allowed: true };
}

/** Length classes of requests by prompt tokens, in ascending order. */
export const lengthClasses = ["short", "medium", "long", "huge"] as const;
export type LengthClass = (typeof lengthClasses)[number];

/** Largest prompt of each class, in tokens. */
export const LENGTH_LIMITS = { short: 4_000, medium: 32_000, long: 100_000, huge: Infinity } as const;

export function getLengthClass(promptTokens: number): LengthClass {
    return lengthClasses.find(name => promptTokens <= LENGTH_LIMITS[name]) ?? "huge";
}

/** Whether requests of the class belong on the long lane, which keeps them from delaying short requests. */
export function isLongClass(lengthClass: LengthClass): boolean {
    return lengthClass === "long" || lengthClass === "huge";
}

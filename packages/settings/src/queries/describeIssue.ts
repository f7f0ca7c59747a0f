import type { z } from "zod";

type Issue = z.core.$ZodIssue;

/** Text form of a schema issue, as shown to operators. */
export interface IssueDescription {
    readonly path: readonly string[];
    readonly found: string;
    readonly expected: string;
}

const MAX_FOUND_LENGTH = 60;

/** Describes a schema issue by the value found in the document and the value expected there. */
export function describeIssue(document: unknown, issue: Issue): IssueDescription[] {
    const path = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({ path: [...path, key], found: "an unknown key", expected: "no such key here" }));
    }
    return [{ path, found: describeValue(findValue(document, path)), expected: describeExpected(issue) }];
}

function describeExpected(issue: Issue): string {
    switch (issue.code) {
        case "invalid_type":
            return issue.expected === "int" ? "a whole number" : `a value of type ${issue.expected}`;
        case "invalid_value":
            return `one of ${issue.values.map(value => JSON.stringify(value)).join(", ")}`;
        case "too_small":
            return issue.origin === "string" || issue.origin === "array"
                ? `at least ${issue.minimum} ${issue.origin === "string" ? "characters" : "entries"}`
                : `a number ${issue.inclusive === true ? "of at least" : "above"} ${issue.minimum}`;
        case "too_big":
            return `a number of at most ${issue.maximum}`;
        case "invalid_format":
            return issue.format === "url" ? "a URL such as http://10.0.0.9:7000" : issue.message;
        default:
            return issue.message;
    }
}

function describeValue(value: unknown): string {
    if (value === undefined) {
        return "nothing";
    }
    const text = JSON.stringify(value);
    return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text;
}

function findValue(document: unknown, path: readonly string[]): unknown {
    return path.reduce<unknown>(
        (value, key) =>
            typeof value === "object" && value !== null ? (value as Record<string, unknown>)[key] : undefined,
        document,
    );
}

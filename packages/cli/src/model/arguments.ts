/** Arguments shared by several commands. */
import { flag, multioption, oneOf, option, optional, string, type Type } from "cmd-ts";

const HOSTS_VARIABLE = "CURRANTRILL_HOSTS";
const KEY_VARIABLE = "CURRANTRILL_OPERATOR_KEY";

/** Addresses from repeated options, or from the environment variable if there are none. */
const addressList: Type<string[], string[]> = {
    from: texts => {
        const values = texts.length > 0 ? texts : (process.env[HOSTS_VARIABLE] ?? "").split(",");
        const addresses = values.map(text => text.trim()).filter(text => text !== "");
        return addresses.length > 0
            ? Promise.resolve(addresses)
            : Promise.reject(new Error(`Give --host or set ${HOSTS_VARIABLE}.`));
    },
};

/** `--host`: operator addresses, which can be repeated. */
export const hosts = multioption({
    long: "host",
    type: addressList,
    description:
        `operator address of a host, such as 10.0.0.1:7101; several are tried in turn [env: ${HOSTS_VARIABLE}, separated by commas]`,
});

/** `--key`: the operator key. */
export const key = option({
    long: "key",
    type: string,
    env: KEY_VARIABLE,
    description: "operator key from the host's settings",
});

/** `--kind`: which settings schema to check against. */
export const settingsKind = option({
    long: "kind",
    type: oneOf(["host", "forwarding"] as const),
    defaultValue: () => "host" as const,
    description: "settings of a host with the model interface, or of one that forwards whole requests",
});

/** `--json`: print the report's data in place of its text. */
export const json = flag({ long: "json", description: "print one JSON document in place of text" });

/** A non-negative integer. */
export const nonNegativeInteger: Type<string, number> = {
    from: text => {
        const value = Number(text);
        return Number.isInteger(value) && value >= 0
            ? Promise.resolve(value)
            : Promise.reject(new Error(`found ${text}, expected a whole number`));
    },
};

export const optionalNumber = optional(nonNegativeInteger);
export const optionalText = optional(string);

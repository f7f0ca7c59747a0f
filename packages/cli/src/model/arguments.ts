/** Arguments that several commands take. */
import { flag, multioption, oneOf, option, optional, string, type Type } from "cmd-ts";

const ENVIRONMENT_HOSTS = "CURRANTRILL_HOSTS";
const ENVIRONMENT_KEY = "CURRANTRILL_OPERATOR_KEY";

const addressList: Type<string[], string[]> = {
    from: texts => {
        const given = texts.length > 0 ? texts : (process.env[ENVIRONMENT_HOSTS] ?? "").split(",");
        const addresses = given.map(text => text.trim()).filter(text => text !== "");
        return addresses.length > 0
            ? Promise.resolve(addresses)
            : Promise.reject(new Error(`Give --host or set ${ENVIRONMENT_HOSTS}.`));
    },
};

export const hosts = multioption({
    long: "host",
    type: addressList,
    description:
        `operator address of a host, such as 10.0.0.1:7101; several are tried in turn [env: ${ENVIRONMENT_HOSTS}, separated by commas]`,
});

export const key = option({
    long: "key",
    type: string,
    env: ENVIRONMENT_KEY,
    description: "operator key from the host's settings",
});

export const settingsKind = option({
    long: "kind",
    type: oneOf(["host", "forwarding"] as const),
    defaultValue: () => "host" as const,
    description: "settings of a host with the model interface, or of one that forwards whole requests",
});

export const json = flag({ long: "json", description: "print one JSON document in place of text" });

export const wholeNumber: Type<string, number> = {
    from: text => {
        const value = Number(text);
        return Number.isInteger(value) && value >= 0
            ? Promise.resolve(value)
            : Promise.reject(new Error(`found ${text}, expected a whole number`));
    },
};

export const optionalNumber = optional(wholeNumber);

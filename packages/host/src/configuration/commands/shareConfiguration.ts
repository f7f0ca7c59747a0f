/** Distribution of configurations between hosts. */
import { applyDifference, type Configuration, type ConfigurationDifference, joinDifferences } from "@currantrill/core";
import type { ConfigurationMessage, Revision } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { sendMessage } from "../../peers/commands/sendMessage.js";
import type { PeerConnection } from "../../peers/model/fleet.js";
import { computeConfirmationAge } from "../queries/computeConfirmationAge.js";
import { adoptConfiguration } from "./adoptConfiguration.js";

/** Time that a peer has to adopt what was sent before it is sent again. */
const RESEND_MS = 3_000;

/** Sends the configuration in force to every peer that is not known to have it. */
export function shareConfiguration(context: HostContext): void {
    context.fleet.connections.forEach(connection => sendConfiguration(context, connection));
}

/** Records the revision that a peer has stated, and sends the peer what it lacks. */
export function recordPeerRevision(context: HostContext, connection: PeerConnection, revision: Revision): void {
    const isAnswerDue = performance.now() - connection.configurationSentAtMs > RESEND_MS;
    if (revision > connection.revision || isAnswerDue) {
        connection.revision = revision;
    }
    sendConfiguration(context, connection);
}

/** Sends a peer the configuration if it is known to have an older one: the difference if this host still has it. */
export function sendConfiguration(context: HostContext, connection: PeerConnection): void {
    const { current, history } = context.configuration;
    if (connection.revision >= current.revision) {
        return;
    }
    const start = history.findIndex(difference => difference.base === connection.revision);
    const difference = start < 0 ? undefined : joinDifferences(history.slice(start));
    sendMessage(context, connection.socket, {
        type: "configuration",
        revision: current.revision,
        base: difference?.base,
        configuration: JSON.stringify(difference ?? current),
        confirmationAgeMs: computeConfirmationAge(context.configuration),
    });
    connection.revision = current.revision;
    connection.configurationSentAtMs = performance.now();
}

/** Adopts a configuration from a peer and passes it on. Asks again if the difference does not fit. */
export function receiveConfiguration(
    context: HostContext,
    connection: PeerConnection,
    message: ConfigurationMessage,
): void {
    connection.revision = message.revision;
    const own = context.configuration.current;
    if (message.revision <= own.revision) {
        return;
    }
    const content = JSON.parse(message.configuration) as Configuration | ConfigurationDifference;
    const configuration = "base" in content ? applyDifference(own, content) : content;
    if (configuration === undefined) {
        sendMessage(context, connection.socket, { type: "snapshotRequest", revision: own.revision });
        return;
    }
    adoptConfiguration(context, configuration);
}

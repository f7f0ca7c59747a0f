/** Exchange of configurations between hosts over peer connections. */
import { applyDifference, type Configuration, type ConfigurationDifference, joinDifferences } from "@currantrill/core";
import type { ConfigurationMessage, Revision } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { sendMessage } from "../../peers/commands/sendMessage.js";
import type { PeerConnection } from "../../peers/model/fleet.js";
import { computeConfirmationAge } from "../queries/computeConfirmationAge.js";
import { adoptConfiguration } from "./adoptConfiguration.js";

/** Time after which a configuration is sent again to a peer that still states an older revision. */
const RESEND_DELAY_MS = 3_000;

/** Sends the active configuration to every connected peer that is not known to have it. */
export function broadcastConfiguration(context: HostContext): void {
    context.fleet.connections.forEach(connection => sendConfiguration(context, connection));
}

/**
 * Records the revision that a peer has stated, and sends the configuration if the peer has an older one. A lower
 * revision than the one sent counts only after `RESEND_DELAY_MS`, because the peer may not have adopted what was sent
 * yet.
 */
export function recordPeerRevision(context: HostContext, connection: PeerConnection, revision: Revision): void {
    const isResendDue = performance.now() - connection.configurationSentAtMs > RESEND_DELAY_MS;
    if (revision > connection.revision || isResendDue) {
        connection.revision = revision;
    }
    sendConfiguration(context, connection);
}

/**
 * Sends a peer the configuration if it is known to have an older one: the difference if the history of this host
 * reaches back to that revision, and the whole configuration otherwise.
 */
export function sendConfiguration(context: HostContext, connection: PeerConnection): void {
    const { current, history } = context.configuration;
    if (connection.revision >= current.revision) {
        return;
    }
    const firstIndex = history.findIndex(difference => difference.base === connection.revision);
    const difference = firstIndex < 0 ? undefined : joinDifferences(history.slice(firstIndex));
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

/**
 * Adopts a newer configuration from a peer; the listeners then send it to the other peers. Requests a snapshot if the
 * received difference does not apply to the configuration of this host.
 */
export function receiveConfiguration(
    context: HostContext,
    connection: PeerConnection,
    message: ConfigurationMessage,
): void {
    connection.revision = message.revision;
    const active = context.configuration.current;
    if (message.revision <= active.revision) {
        return;
    }
    const content = JSON.parse(message.configuration) as Configuration | ConfigurationDifference;
    const configuration = "base" in content ? applyDifference(active, content) : content;
    if (configuration === undefined) {
        sendMessage(context, connection.socket, { type: "snapshotRequest", revision: active.revision });
        return;
    }
    adoptConfiguration(context, configuration);
}

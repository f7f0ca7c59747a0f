import type Logger from "bunyan";
import type { PlatformRows } from "../../ports/platformRows.js";
import { formatPosition } from "../../ports/storePosition.js";
import type { TableRow } from "../../ports/tableSource.js";
import { buildConfigurationIndex, type ConfigurationIndex } from "./configurationIndex.js";

/** Holds the active configuration of this host. */
export interface ConfigurationManager {
    /** Returns the active configuration, `undefined` until the first one is known. */
    readonly get: () => ConfigurationIndex | undefined;
    /** Activates the configuration among changed rows if it is valid and newer than the active one. */
    readonly applyRows: (changed: readonly TableRow[]) => void;
    /** Returns the row of the active configuration, with its version in place of a position; for peers. */
    readonly getActiveRow: () => TableRow | undefined;
}

export interface ConfigurationManagerOptions {
    readonly rows: PlatformRows;
    readonly log: Logger;
    /** Called after a configuration has become active. */
    readonly onChange: (index: ConfigurationIndex) => void;
}

/**
 * Creates a manager without a configuration. It activates only newer versions; a host never goes back to an older one.
 */
export function createConfigurationManager(options: ConfigurationManagerOptions): ConfigurationManager {
    const { rows, log, onChange } = options;
    let index: ConfigurationIndex | undefined;
    let activeRow: TableRow | undefined;
    return {
        get: () => index,
        getActiveRow: () => activeRow,
        applyRows: changed => {
            const row = changed.find(({ key, value }) => key === rows.configurationKey && value !== undefined);
            if (row?.value === undefined) {
                return;
            }
            const decoded = rows.decodeConfiguration(row.value);
            if (!decoded.ok) {
                log.error(
                    { ...decoded.finding, row: formatPosition(row.version) },
                    "configuration: could not decode the row, keeping the active configuration",
                );
                return;
            }
            const { version, routes } = decoded.value;
            const current = index?.configuration.version;
            if (current !== undefined && version <= current) {
                if (version === current) {
                    return;
                }
                log.warn({ version, current }, "configuration: ignoring an older version");
                return;
            }
            log.info(
                { version, row: formatPosition(row.version), routes: routes.length, previous: current },
                "configuration: activated",
            );
            index = buildConfigurationIndex(decoded.value);
            activeRow = { ...row, version };
            onChange(index);
        },
    };
}

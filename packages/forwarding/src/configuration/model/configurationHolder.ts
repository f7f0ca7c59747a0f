/** The configuration in force on this host. */
import type Logger from "bunyan";
import type { PlatformRows } from "../../ports/platformRows.js";
import type { TableRow } from "../../ports/tableSource.js";
import { buildConfigurationIndex, type ConfigurationIndex } from "./configurationIndex.js";

export interface ConfigurationHolder {
    /** `undefined` until the first configuration is known. */
    readonly get: () => ConfigurationIndex | undefined;
    readonly applyRows: (changed: readonly TableRow[]) => void;
}

export interface ConfigurationHolderOptions {
    readonly rows: PlatformRows;
    readonly log: Logger;
    readonly onChange: (index: ConfigurationIndex) => void;
}

/** Creates an empty holder. A configuration is taken over if it is newer; a host never goes back. */
export function createConfigurationHolder(options: ConfigurationHolderOptions): ConfigurationHolder {
    const { rows, log, onChange } = options;
    let index: ConfigurationIndex | undefined;
    return {
        get: () => index,
        applyRows: changed => {
            const row = changed.find(({ key, value }) => key === rows.configurationKey && value !== undefined);
            if (row?.value === undefined) {
                return;
            }
            const decoded = rows.decodeConfiguration(row.value);
            if (!decoded.ok) {
                log.error({ ...decoded.finding, row: row.version }, "configuration: not readable, the last one stays");
                return;
            }
            const { version, routes } = decoded.value;
            const current = index?.configuration.version;
            if (current !== undefined && version <= current) {
                log.warn({ version, current }, "configuration: older one ignored");
                return;
            }
            log.info(
                { version, row: row.version, routes: routes.length, previous: current },
                "configuration: in force",
            );
            index = buildConfigurationIndex(decoded.value);
            onChange(index);
        },
    };
}

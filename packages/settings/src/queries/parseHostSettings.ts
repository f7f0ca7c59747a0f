import { type HostSettings, hostSettingsSchema } from "../model/hostSettings.js";
import { type ParseResult, parseWithSchema } from "./parseWithSchema.js";

/**
 * Parses and validates the settings of a host. `source` is the file name used in findings. Reports all findings at
 * once.
 */
export function parseHostSettings(text: string, source: string): ParseResult<HostSettings> {
    return parseWithSchema(text, source, hostSettingsSchema);
}

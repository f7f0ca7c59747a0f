import { type HostSettings, hostSettingsSchema } from "../model/hostSettings.js";
import { type ParseResult, parseWithSchema } from "./parseWithSchema.js";

/** Checks a host's settings. All findings are returned together. */
export function parseHostSettings(text: string, source: string): ParseResult<HostSettings> {
    return parseWithSchema(text, source, hostSettingsSchema);
}

import { type ForwardingSettings, forwardingSettingsSchema } from "../model/forwardingSettings.js";
import { type ParseResult, parseWithSchema } from "./parseWithSchema.js";

/**
 * Parses and validates the settings of a forwarding host. `source` is the file name used in findings. Reports all
 * findings at once.
 */
export const parseForwardingSettings = (text: string, source: string): ParseResult<ForwardingSettings> =>
    parseWithSchema(text, source, forwardingSettingsSchema);

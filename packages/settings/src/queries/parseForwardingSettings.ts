import { type ForwardingSettings, forwardingSettingsSchema } from "../model/forwardingSettings.js";
import { type ParseResult, parseWithSchema } from "./parseWithSchema.js";

/** Parses the settings of a forwarding host. Returns all findings together. */
export const parseForwardingSettings = (text: string, source: string): ParseResult<ForwardingSettings> =>
    parseWithSchema(text, source, forwardingSettingsSchema);

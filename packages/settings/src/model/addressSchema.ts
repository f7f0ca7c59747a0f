import { z } from "zod";

const OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";
const IP_AND_PORT = new RegExp(`^(${OCTET}\\.){3}${OCTET}:([1-9]\\d{0,4})$`);

/** IPv4 address and port, such as `10.0.0.1:7100`. Host names are rejected. */
export const addressSchema = z.string()
    .regex(IP_AND_PORT, "an IP address and port such as 10.0.0.1:7100")
    .refine(text => Number(text.split(":")[1] ?? 0) < 65_536, "a port of at most 65535");

/** Duration in milliseconds, from 1 ms to one day. */
export const millisecondsSchema = z.number().int().min(1).max(86_400_000);

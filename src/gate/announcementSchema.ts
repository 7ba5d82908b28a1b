import * as z from "zod";
import { EndpointState } from "../model/EndpointState.js";

const positive = z.number().int().positive();

/** Schema of the announcement by which a backend server registers with the proxy on its VM. */
export const announcementSchema = z.strictObject({
    service: z.string().min(1),
    address: z.string().regex(/^[^\s:]+:\d{1,5}$/, "host:port"),
    instance: z.string().max(64).default(""),
    state: z.enum([EndpointState.Warming, EndpointState.Serving, EndpointState.Draining]).default(EndpointState.Serving),
    slots: positive.max(100_000).optional(),
    connections: positive.max(100_000).optional(),
});

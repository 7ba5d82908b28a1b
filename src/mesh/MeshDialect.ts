import { CallerDialect } from "../callers/CallerDialect.js";
import { EndpointDialect } from "../serving/EndpointDialect.js";

/** Conventions for the messages exchanged with callers and backend servers. */
export type MeshDialect = CallerDialect & EndpointDialect;

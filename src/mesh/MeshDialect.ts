import { CallerDialect } from "../entrance/CallerDialect.js";
import { EndpointDialect } from "../serving/EndpointDialect.js";

/** How callers and backend servers are spoken to. */
export type MeshDialect = CallerDialect & EndpointDialect;

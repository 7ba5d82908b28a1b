import { EndpointReport } from "./EndpointReport.js";

/** One run of a backend server, which may start again under the id that it had. */
export type EndpointRun = Pick<EndpointReport, "id" | "bornAtMs">;

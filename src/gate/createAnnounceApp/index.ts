import type { RequestListener } from "node:http";
import { getRouterParam, H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { describeIssues } from "../../validation/describeIssues/index.js";
import { createHttpError } from "../../http/createHttpError/index.js";
import { readJson } from "../../http/readJson/index.js";
import { toError } from "../../model/toError/index.js";
import { announcementSchema } from "../announcementSchema.js";
import { EndpointController } from "../EndpointController/index.js";

/** Maximum size of an announcement, in bytes; it takes less than a kilobyte. */
const MAX_BODY_BYTES = 16_384;
const STATUS_UNPROCESSABLE = 422;
const STATUS_NOT_FOUND = 404;

/**
 * Creates the HTTP interface for announcements of backend servers on the same VM:
 * `PUT /endpoints/<id>` registers an endpoint or renews its lease, `POST /endpoints/<id>/drain` begins a drain.
 *
 * @param endpoints - Endpoints on this VM.
 * @returns Request listener for an HTTP server.
 * @example
 * await listenHttp("127.0.0.1", port, "proxy.announcePort", createAnnounceApp(endpoints));
 */
export function createAnnounceApp(endpoints: EndpointController): RequestListener {
    const app = new H3();
    app.put("/endpoints/:id", async (event) => {
        const id = getRouterParam(event, "id") ?? "";
        const body: unknown = await readJson(event, MAX_BODY_BYTES);
        const checked = announcementSchema.safeParse(body);
        if (!checked.success) {
            throw createHttpError(STATUS_UNPROCESSABLE, describeIssues(checked.error, body).join("; "));
        }
        try {
            return endpoints.announce(id, checked.data);
        }
        catch (thrown) {
            throw createHttpError(STATUS_UNPROCESSABLE, toError(thrown).message);
        }
    });
    app.post("/endpoints/:id/drain", (event) => {
        const id = getRouterParam(event, "id") ?? "";
        if (!endpoints.drain(id)) {
            throw createHttpError(STATUS_NOT_FOUND, `no endpoint "${id}" on this VM`);
        }
        return { endpointId: id };
    });
    return toNodeHandler(app);
}

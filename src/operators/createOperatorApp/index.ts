import { timingSafeEqual } from "node:crypto";
import type { RequestListener } from "node:http";
import { getQuery, H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { describeIssues } from "../../validation/describeIssues/index.js";
import { createHttpError } from "../../http/createHttpError/index.js";
import { readJson } from "../../http/readJson/index.js";
import { toError } from "../../model/toError/index.js";
import { applyBodySchema } from "../applyBodySchema.js";
import { ControlHandlers } from "../ControlHandlers.js";
import { OperatorHandlers } from "../OperatorHandlers.js";

/** Maximum size of a manifest with its envelope, in bytes. */
const MAX_BODY_BYTES = 8 * 1_024 * 1_024;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_UNPROCESSABLE = 422;

/**
 * Creates the operator API: `GET /status`, `GET /endpoints`, `GET /explain?text=`, `POST /drain?endpoint=`
 * and, with the control role, `GET /control`, `POST /control/bootstrap`, `/control/add?vm=`, `/control/remove?vm=` and `/apply`.
 * All responses are JSON.
 *
 * @param handlers - Operations that the API exposes.
 * @param token - Bearer token that requests must carry, or undefined to accept all requests.
 * @returns Listener for an HTTP server.
 * @example
 * await listenHttp(host, port, "operator.port", createOperatorApp(handlers, undefined));
 */
export function createOperatorApp(handlers: OperatorHandlers, token: string | undefined): RequestListener {
    const app = new H3();
    app.use((event) => {
        if (token !== undefined && !isEqualInConstantTime(event.req.headers.get("authorization") ?? "", `Bearer ${token}`)) {
            throw createHttpError(STATUS_UNAUTHORIZED, "the bearer token is missing or wrong");
        }
    });
    app.get("/status", () => handlers.status());
    app.get("/endpoints", () => handlers.endpoints());
    app.get("/explain", (event) => handlers.explain(String(getQuery(event)["text"] ?? "")));
    app.post("/drain", (event) => {
        const endpointId = getQuery(event)["endpoint"] as string | undefined;
        if (!handlers.drain(endpointId)) {
            throw createHttpError(STATUS_NOT_FOUND, `endpoint: found "${endpointId}": not on this VM`);
        }
        return { draining: endpointId ?? "all" };
    });
    app.get("/control", () => requireControl(handlers).status());
    app.post("/control/bootstrap", () => runControlAction(() => requireControl(handlers).bootstrap()));
    app.post("/control/add", (event) => runControlAction(() => requireControl(handlers).changeVoters(String(getQuery(event)["vm"] ?? ""), true)));
    app.post("/control/remove", (event) => runControlAction(() => requireControl(handlers).changeVoters(String(getQuery(event)["vm"] ?? ""), false)));
    app.post("/apply", async (event) => {
        const control = requireControl(handlers);
        const body: unknown = await readJson(event, MAX_BODY_BYTES);
        const checked = applyBodySchema.safeParse(body);
        if (!checked.success) {
            throw createHttpError(STATUS_UNPROCESSABLE, describeIssues(checked.error, body).join("; "));
        }
        const { text, fileName, basedOnVersion, changeId } = checked.data;
        return runControlAction(() => control.apply(text, fileName, basedOnVersion, changeId));
    });
    return toNodeHandler(app);
}

function requireControl(handlers: OperatorHandlers): ControlHandlers {
    if (handlers.control === undefined) {
        throw createHttpError(STATUS_NOT_FOUND, "this process does not have the control role");
    }
    return handlers.control;
}

async function runControlAction<T>(action: () => Promise<T>): Promise<T | { readonly done: true }> {
    try {
        return await action() ?? { done: true };
    }
    catch (thrown) {
        throw createHttpError(STATUS_UNPROCESSABLE, toError(thrown).message);
    }
}

function isEqualInConstantTime(actual: string, expected: string): boolean {
    const actualBytes = Buffer.from(actual);
    const expectedBytes = Buffer.from(expected);
    return actualBytes.length === expectedBytes.length && timingSafeEqual(actualBytes, expectedBytes);
}

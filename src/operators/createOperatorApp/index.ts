import { timingSafeEqual } from "node:crypto";
import type { RequestListener } from "node:http";
import { getQuery, H3, readBody } from "h3";
import { toNodeHandler } from "h3/node";
import { describeIssues } from "../../checks/describeIssues/index.js";
import { createHttpError } from "../../http/createHttpError/index.js";
import { toError } from "../../model/toError/index.js";
import { applyBodySchema } from "../applyBodySchema.js";
import { ControlPorts } from "../ControlPorts.js";
import { OperatorPorts } from "../OperatorPorts.js";

const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_UNPROCESSABLE = 422;

/**
 * Creates the operators' interface: `GET /status`, `GET /endpoints`, `GET /explain?text=`, `POST /drain?endpoint=`
 * and, on control, `GET /control`, `POST /control/bootstrap`, `/control/add?vm=`, `/control/remove?vm=` and `/apply`.
 * All answers are JSON.
 *
 * @param ports - What the process offers.
 * @param token - Bearer token that requests must carry, or undefined for none.
 * @returns Listener for an HTTP server.
 * @example
 * await listenHttp(host, port, "operator.port", createOperatorApp(ports, undefined));
 */
export function createOperatorApp(ports: OperatorPorts, token: string | undefined): RequestListener {
    const app = new H3();
    app.use((event) => {
        if (token !== undefined && !isSame(event.req.headers.get("authorization") ?? "", `Bearer ${token}`)) {
            throw createHttpError(STATUS_UNAUTHORIZED, "the token is missing or wrong");
        }
    });
    app.get("/status", () => ports.status());
    app.get("/endpoints", () => ports.endpoints());
    app.get("/explain", (event) => ports.explain(String(getQuery(event)["text"] ?? "")));
    app.post("/drain", (event) => {
        const endpointId = getQuery(event)["endpoint"] as string | undefined;
        if (!ports.drain(endpointId)) {
            throw createHttpError(STATUS_NOT_FOUND, `endpoint: found "${endpointId}": not on this VM`);
        }
        return { draining: endpointId ?? "all" };
    });
    app.get("/control", () => controlOf(ports).status());
    app.post("/control/bootstrap", () => guard(() => controlOf(ports).bootstrap()));
    app.post("/control/add", (event) => guard(() => controlOf(ports).changeVoters(String(getQuery(event)["vm"] ?? ""), true)));
    app.post("/control/remove", (event) => guard(() => controlOf(ports).changeVoters(String(getQuery(event)["vm"] ?? ""), false)));
    app.post("/apply", async (event) => {
        const control = controlOf(ports);
        const body: unknown = await readBody(event);
        const checked = applyBodySchema.safeParse(body);
        if (!checked.success) {
            throw createHttpError(STATUS_UNPROCESSABLE, describeIssues(checked.error, body).join("; "));
        }
        const { text, fileName, basedOnVersion, changeId } = checked.data;
        return guard(() => control.apply(text, fileName, basedOnVersion, changeId));
    });
    return toNodeHandler(app);
}

function controlOf(ports: OperatorPorts): ControlPorts {
    if (ports.control === undefined) {
        throw createHttpError(STATUS_NOT_FOUND, "this process does not have the control role");
    }
    return ports.control;
}

async function guard<T>(action: () => Promise<T>): Promise<T | { readonly done: true }> {
    try {
        return await action() ?? { done: true };
    }
    catch (thrown) {
        throw createHttpError(STATUS_UNPROCESSABLE, toError(thrown).message);
    }
}

function isSame(given: string, expected: string): boolean {
    const left = Buffer.from(given);
    const right = Buffer.from(expected);
    return left.length === right.length && timingSafeEqual(left, right);
}

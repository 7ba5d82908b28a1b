import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { nowMs } from "../../clock/nowMs/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { nodeRoute } from "../../http/nodeRoute/index.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { toError } from "../../model/toError/index.js";
import { EndpointController } from "../EndpointController/index.js";
import { readAttempt } from "../readAttempt/index.js";
import { ReceivedAttempt } from "../ReceivedAttempt.js";

const STATUS_FORBIDDEN = 403;
const STATUS_NOT_FOUND = 404;
const STATUS_SERVICE_UNAVAILABLE = 503;

/**
 * Creates the HTTP interface to which entries send attempts and from which they fetch retained answers.
 *
 * @param endpoints - Endpoints on this VM.
 * @param token - Token of the fleet; requests without it are refused with status 403.
 * @returns Request listener for an HTTP server.
 * @example
 * await listenHttp(host, port, "proxy.gatePort", createGateApp(endpoints, token));
 */
export function createGateApp(endpoints: EndpointController, token: string): RequestListener {
    const expected = Buffer.from(token);
    const app = new H3();
    app.all("/**", nodeRoute((request, response) => new Promise<void>((resolve) => {
        response.once("close", resolve);
        const actual = Buffer.from(headerValue(request.headers, HeaderName.Token) ?? "");
        if (actual.length !== expected.length || !timingSafeEqual(actual, expected)) {
            response.writeHead(STATUS_FORBIDDEN).end();
            return;
        }
        handle(endpoints, request, response);
    })));
    return toNodeHandler(app);
}

function handle(endpoints: EndpointController, request: IncomingMessage, response: ServerResponse): void {
    const fetchKey = headerValue(request.headers, HeaderName.Fetch);
    if (fetchKey !== undefined) {
        sendRetainedAnswer(endpoints, fetchKey, response);
        return;
    }
    let received: ReceivedAttempt;
    try {
        received = readAttempt(request.headers, nowMs());
    }
    catch (thrown) {
        refuse(response, RefusalReason.BadRequest, toError(thrown).message);
        return;
    }
    if (!endpoints.handleAttempt(received, request, response)) {
        refuse(response, RefusalReason.WrongEndpoint, received.endpointId);
    }
}

function sendRetainedAnswer(endpoints: EndpointController, key: string, response: ServerResponse): void {
    const answer = endpoints.retainedAnswers.get(key);
    if (answer === undefined) {
        response.writeHead(STATUS_NOT_FOUND).end();
        return;
    }
    response.writeHead(answer.status, answer.headers as Record<string, string | string[]>);
    response.end(answer.body);
}

function refuse(response: ServerResponse, reason: RefusalReason, detail: string): void {
    response.writeHead(STATUS_SERVICE_UNAVAILABLE, { [HeaderName.Outcome]: Outcome.NotRun, [HeaderName.Reason]: reason });
    response.end(detail);
}

import { request } from "undici";
import { isFinalStatus } from "../../http/isFinalStatus/index.js";
import { toError } from "../../model/toError/index.js";
import { CommandError } from "../CommandError.js";
import { ExitCode } from "../ExitCode.js";
import { OperatorRequest } from "../OperatorRequest.js";

const HEADERS_TIMEOUT_MS = 10_000;
const FIRST_ERROR_STATUS = 400;

/**
 * Calls the operator API of a process.
 *
 * @param operatorRequest - Address, method, path, token and body.
 * @returns The parsed JSON response.
 * @throws CommandError with exit code Unreachable if the process cannot be reached or its response is invalid, Refused for an error status.
 * @example
 * const status = await callOperatorApi<DaemonStatus>({ address: "127.0.0.1:7000", method: "GET", path: "/status" });
 */
export async function callOperatorApi<T>(operatorRequest: OperatorRequest): Promise<T> {
    let status: number;
    let text: string;
    try {
        const response = await request(`http://${operatorRequest.address}${operatorRequest.path}`, {
            method: operatorRequest.method,
            headersTimeout: HEADERS_TIMEOUT_MS,
            headers: {
                ...(operatorRequest.token === undefined ? {} : { authorization: `Bearer ${operatorRequest.token}` }),
                ...(operatorRequest.body === undefined ? {} : { "content-type": "application/json" }),
            },
            body: operatorRequest.body === undefined ? null : JSON.stringify(operatorRequest.body),
        });
        status = response.statusCode;
        text = await response.body.text();
    }
    catch (thrown) {
        throw CommandError.create(ExitCode.Unreachable, `${operatorRequest.address}: ${toError(thrown).message}`);
    }
    if (!isFinalStatus(status)) {
        throw CommandError.create(ExitCode.Unreachable, `${operatorRequest.address}: invalid status ${status}`);
    }
    if (status >= FIRST_ERROR_STATUS) {
        throw CommandError.create(ExitCode.Refused, `${operatorRequest.address}: ${parseErrorMessage(text)}`);
    }
    return JSON.parse(text) as T;
}

function parseErrorMessage(text: string): string {
    try {
        return (JSON.parse(text) as { message?: string }).message ?? text;
    }
    catch {
        return text;
    }
}

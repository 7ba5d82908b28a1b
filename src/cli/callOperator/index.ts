import { request } from "undici";
import { toError } from "../../model/toError/index.js";
import { CommandError } from "../CommandError.js";
import { ExitCode } from "../ExitCode.js";
import { OperatorCall } from "../OperatorCall.js";

const TIMEOUT_MS = 10_000;
const FIRST_ERROR_STATUS = 400;

/**
 * Calls the operators' interface of a process.
 *
 * @param call - Address, method, path, token and body.
 * @returns The parsed JSON answer.
 * @throws CommandError with exit code Unreachable or Refused.
 * @example
 * const status = await callOperator<DaemonStatus>({ address: "127.0.0.1:7000", method: "GET", path: "/status" });
 */
export async function callOperator<T>(call: OperatorCall): Promise<T> {
    let status: number;
    let text: string;
    try {
        const answer = await request(`http://${call.address}${call.path}`, {
            method: call.method,
            headersTimeout: TIMEOUT_MS,
            headers: {
                ...(call.token === undefined ? {} : { authorization: `Bearer ${call.token}` }),
                ...(call.body === undefined ? {} : { "content-type": "application/json" }),
            },
            body: call.body === undefined ? null : JSON.stringify(call.body),
        });
        status = answer.statusCode;
        text = await answer.body.text();
    }
    catch (thrown) {
        throw CommandError.create(ExitCode.Unreachable, `${call.address}: ${toError(thrown).message}`);
    }
    if (status >= FIRST_ERROR_STATUS) {
        throw CommandError.create(ExitCode.Refused, `${call.address}: ${messageOf(text)}`);
    }
    return JSON.parse(text) as T;
}

function messageOf(text: string): string {
    try {
        return (JSON.parse(text) as { message?: string }).message ?? text;
    }
    catch {
        return text;
    }
}

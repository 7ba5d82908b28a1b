/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { setTimeout as delay } from "node:timers/promises";
import { sendJson } from "./sendJson.mjs";

const MAX_TRIES = 50;
const RETRY_DELAY_MS = 100;
const MIN_UNCLEAR_STATUS = 500;

/** Sends an operator's call to one control machine after the other until one answers it clearly. */
export async function sendUntilDecided(deployment, method, body) {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        const reply = await sendJson(deployment.controlAddress(tries % deployment.controlCount), method, "/config", body);
        if (reply !== undefined && reply.status < MIN_UNCLEAR_STATUS) {
            return reply;
        }
        await delay(RETRY_DELAY_MS);
    }
    throw new Error(`no clear answer to ${method} /config`);
}

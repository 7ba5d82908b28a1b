/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { sendUntilDecided } from "./sendUntilDecided.mjs";

/** Reads the versions of all routes by their names. */
export async function readRoutes(deployment) {
    const { body } = await sendUntilDecided(deployment, "GET");
    const routes = JSON.parse(body).resources.filter(({ entry_kind: kind }) => kind === "routes");
    return Object.fromEntries(routes.map(({ metadata }) => [metadata.name, metadata.version]));
}

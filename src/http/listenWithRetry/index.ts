import { type EventEmitter, once } from "node:events";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { isPassingError } from "../../starts/isPassingError/index.js";
import { StartWaits } from "../../starts/StartWaits/index.js";

/**
 * Waits until a server listens on an address. Errors of the server afterwards, such as a connection that cannot be accepted for
 * want of descriptors, concern one connection and are reported; without a listener they would be uncaught.
 *
 * @param address - `host:port`, for errors and the log.
 * @param listen - Makes the server listen and returns it; called again if it could not.
 * @param onError - Called with each error of the listening server.
 * @param waits - Waits for a port that is held or an address that is absent; without it, these are errors.
 * @returns The listening server.
 * @throws FleetError if the server cannot listen on the address.
 * @example
 * await listenWithRetry("127.0.0.1:8080", () => server.listen(8080, "127.0.0.1"), report, startWaits);
 */
export async function listenWithRetry<Server extends EventEmitter>(
    address: string,
    listen: () => Server,
    onError: (error: Error) => void,
    waits?: StartWaits,
): Promise<Server> {
    const attempt = async (): Promise<Server> => {
        try {
            const server = listen();
            await once(server, "listening");
            return server;
        }
        catch (thrown) {
            const cause = toError(thrown);
            throw FleetError.create({ step: Step.Listen, peer: address, cause }, cause.message);
        }
    };
    const server = await (waits === undefined ? attempt() : waits.retry(`listening on ${address}`, attempt, isPassingError));
    server.on("error", onError);
    return server;
}

import { randomUUID } from "node:crypto";
import { request } from "undici";
import { AnnouncementReply } from "../../src/gate/AnnouncementReply.js";
import { EndpointState } from "../../src/model/EndpointState.js";
import { StandInOptions } from "../StandInOptions.js";

const RENEW_INTERVAL_MS = 500;

/** Announces a stand-in backend server to the proxy on the same VM, renews its lease, and drains it before a stop. */
export class StandInAnnouncer {
    private readonly instance = randomUUID();
    private timer: NodeJS.Timeout | undefined;
    private state = EndpointState.Serving;
    private onDrained: () => void = () => undefined;

    private constructor(private readonly options: StandInOptions) {}

    /** Creates an announcer and sends the first announcement. */
    static create(options: StandInOptions): StandInAnnouncer {
        const announcer = new StandInAnnouncer(options);
        void announcer.renewLease();
        return announcer;
    }

    /** Announces the server as draining; resolves when the proxy reports that it has no requests in flight. */
    drain(): Promise<void> {
        return new Promise((resolve) => {
            this.state = EndpointState.Draining;
            this.onDrained = resolve;
            void this.renewLease();
        });
    }

    private async renewLease(): Promise<void> {
        clearTimeout(this.timer);
        const reply = await this.announce();
        if (reply?.mayStop === true && this.state === EndpointState.Draining) {
            this.onDrained();
            return;
        }
        this.timer = setTimeout(() => void this.renewLease(), this.state === EndpointState.Draining ? RENEW_INTERVAL_MS / 10 : RENEW_INTERVAL_MS);
    }

    private async announce(): Promise<AnnouncementReply | undefined> {
        const { service, port, announcePort, endpointId } = this.options;
        try {
            const response = await request(`http://127.0.0.1:${announcePort}/endpoints/${endpointId}`, {
                method: "PUT",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ service, address: `127.0.0.1:${port}`, instance: this.instance, state: this.state }),
            });
            return await response.body.json() as AnnouncementReply;
        }
        catch {
            return undefined;
        }
    }
}

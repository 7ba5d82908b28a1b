import { randomUUID } from "node:crypto";
import { request } from "undici";
import { AnnouncementReply } from "../../src/gate/AnnouncementReply.js";
import { EndpointState } from "../../src/model/EndpointState.js";
import { StandInOptions } from "../StandInOptions.js";

const RENEW_MS = 500;

/** Announces a stand-in backend server to the proxy beside it, and drains it before it stops. */
export class StandInAnnouncer {
    private readonly instance = randomUUID();
    private timer: NodeJS.Timeout | undefined;
    private state = EndpointState.Serving;
    private onMayStop: () => void = () => undefined;

    private constructor(private readonly options: StandInOptions) {}

    /** Starts to announce. */
    static create(options: StandInOptions): StandInAnnouncer {
        const announcer = new StandInAnnouncer(options);
        void announcer.renew();
        return announcer;
    }

    /** Asks to leave; resolves once the proxy says that nothing is in flight. */
    leave(): Promise<void> {
        return new Promise((resolve) => {
            this.state = EndpointState.Draining;
            this.onMayStop = resolve;
            void this.renew();
        });
    }

    private async renew(): Promise<void> {
        clearTimeout(this.timer);
        const reply = await this.announce();
        if (reply?.mayStop === true && this.state === EndpointState.Draining) {
            this.onMayStop();
            return;
        }
        this.timer = setTimeout(() => void this.renew(), this.state === EndpointState.Draining ? RENEW_MS / 10 : RENEW_MS);
    }

    private async announce(): Promise<AnnouncementReply | undefined> {
        const { service, port, announcePort, endpointId } = this.options;
        try {
            const answer = await request(`http://127.0.0.1:${announcePort}/endpoints/${endpointId}`, {
                method: "PUT",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ service, address: `127.0.0.1:${port}`, instance: this.instance, state: this.state }),
            });
            return await answer.body.json() as AnnouncementReply;
        }
        catch {
            return undefined;
        }
    }
}

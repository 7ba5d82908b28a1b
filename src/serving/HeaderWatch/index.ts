import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { copyText } from "../../model/copyText/index.js";
import { HeaderList } from "../../model/HeaderList.js";

/** Maximum number of distinct header fields that are remembered. */
const MAX_NAMES = 256;
/** Number of characters of a name that are remembered; longer than any usual one. */
const MAX_NAME_CHARACTERS = 128;

/**
 * Logs each header field of the responses of backend servers that nothing reads, once: backend servers may have begun to say
 * something that the fleet does not act on.
 */
export class HeaderWatch {
    private readonly names = new Set<string>();

    private constructor(private readonly isKnown: (name: string) => boolean, private readonly events: EventLog) {}

    /**
     * Creates a watch that has seen no responses.
     *
     * @param isKnown - Returns whether the meaning of a header field is known, by its name in lower case.
     * @param events - Event log.
     */
    static create(isKnown: (name: string) => boolean, events: EventLog): HeaderWatch {
        return new HeaderWatch(isKnown, events);
    }

    /** Inspects the header fields of a response. */
    observe(headers: HeaderList): void {
        for (const [name] of headers) {
            if (this.names.size >= MAX_NAMES) {
                return;
            }
            if (!this.names.has(name)) {
                this.remember(copyText(name, MAX_NAME_CHARACTERS));
            }
        }
    }

    private remember(name: string): void {
        if (!this.names.has(name)) {
            this.names.add(name);
            this.reportIfUnknown(name.toLowerCase());
        }
    }

    private reportIfUnknown(name: string): void {
        if (!this.isKnown(name)) {
            this.events.record(EventNumber.HeaderUnknown, { header: name });
        }
    }
}

import { FleetError } from "../model/FleetError.js";
import { LinkBytes } from "./LinkBytes.js";
import { Message } from "./Message.js";
import { PeerIdentity } from "./PeerIdentity.js";
import { WsLink } from "./WsLink/index.js";

/** Own side of a link and what to do with its events. */
export interface WsLinkOptions {
    readonly identity: PeerIdentity;
    readonly fleetKey: string;
    /** True on the end that accepted the socket. */
    readonly accepted: boolean;
    /** Address of the other end, for errors before it has said who it is. */
    readonly address: string;
    /** Counts the bytes of all links of the process. */
    readonly bytes: LinkBytes;
    readonly onOpen: (link: WsLink) => void;
    readonly onMessage: (link: WsLink, message: Message) => void;
    readonly onCall: (link: WsLink, message: Message) => Promise<Message | undefined>;
    readonly onClose: (link: WsLink, wasOpen: boolean) => void;
    readonly onError: (error: FleetError) => void;
}

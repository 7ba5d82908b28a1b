import { FleetError } from "../model/FleetError.js";
import { PeerLink } from "./PeerLink.js";
import { Message } from "./Message.js";

/** Callbacks for the events of a process's links. */
export interface LinkHandler {
    /** Called when a link is open and both ends have proved that they know the fleet key. */
    onOpen(link: PeerLink): void;
    /** Called for each message that is neither a call nor a reply. */
    onMessage(link: PeerLink, message: Message): void;
    /** Called for each call; the returned message is sent as its reply. */
    onCall(link: PeerLink, message: Message): Promise<Message | undefined>;
    /** Called when an open link has closed. */
    onClose(link: PeerLink): void;
    /** Called if a message or a call could not be handled; the link stays open. */
    onMessageError(error: FleetError): void;
}

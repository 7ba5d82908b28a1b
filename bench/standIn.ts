import { Command } from "commander";
import { StandInAnnouncer } from "./StandInAnnouncer/index.js";
import { StandInServer } from "./StandInServer/index.js";

const options = new Command("stand-in")
    .requiredOption("--endpoint <id>")
    .requiredOption("--service <name>")
    .requiredOption("--port <port>")
    .requiredOption("--announce-port <port>")
    .option("--service-ms <ms>", "processing time of a request", "2")
    .option("--bytes-per-ms <bytes>", "rate limit for response bodies, 0 for none", "0")
    .parse()
    .opts<Record<"endpoint" | "service" | "port" | "announcePort" | "serviceMs" | "bytesPerMs", string>>();

const standInOptions = {
    endpointId: options.endpoint,
    service: options.service,
    port: Number(options.port),
    announcePort: Number(options.announcePort),
    serviceMs: Number(options.serviceMs),
    bytesPerMs: Number(options.bytesPerMs),
};
const server = await StandInServer.create(standInOptions);
const announcer = StandInAnnouncer.create(standInOptions);
process.on("SIGTERM", () => void announcer.drain().then(() => {
    server.close();
    process.exit(0);
}));

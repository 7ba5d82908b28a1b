/** Formats of the log. */
export enum LogFormat {
    Json = "json",
    Pretty = "pretty",
}

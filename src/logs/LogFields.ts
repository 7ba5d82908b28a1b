/** Fields of a log event; units are suffixes of the names. */
export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>;

/** Header fields in the order in which they came, names as sent. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

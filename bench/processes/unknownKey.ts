/** Key that no organisation of the soak holds. */
export const UNKNOWN_KEY = "key-of-nobody";

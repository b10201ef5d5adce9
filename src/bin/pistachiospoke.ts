/** The operators' command line. */
console.log('pistachiospoke');
